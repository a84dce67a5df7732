#!/usr/bin/env node
/** The `jayfall` executable. */

import { runCommandLine } from './JayfallCommandLine'

runCommandLine(process.argv)
