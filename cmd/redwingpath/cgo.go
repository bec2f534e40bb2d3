package main

import "C" // the platform requires programs to be linked against the C library
