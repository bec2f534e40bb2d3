package main

import "C" // The platform requires that programs are linked against the C library.
