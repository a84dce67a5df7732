#!/usr/bin/env node
/** The `jayfall` executable. */

import { isMainThread } from 'node:worker_threads'

import { runCommandLine } from './JayfallCommandLine'

// In the bundle, data threads load this file as well.
if (isMainThread) runCommandLine(process.argv)
