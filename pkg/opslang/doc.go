// Package opslang implements the language in which operators query and change the
// configuration. Every statement starts with a verb. A statement that changes the
// configuration has the form
//
//	verb noun name attribute value ... [if version N]
//
// and statements are separated by newlines or semicolons. The changes of one
// script are applied atomically. The page docs/operators.md describes the language
// with examples.
//
// Parse turns text into statements. Plan turns the statements that change the
// configuration into the changes of one log record, based on a snapshot of the
// tables. Both have no side effects and report all findings at once.
package opslang
