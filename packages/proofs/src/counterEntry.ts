/**
 * The command line with one mechanism replaced by one that does not keep its promise.
 *
 * The first argument names the mechanism; the others are those of `jayfall`.
 */

import 'reflect-metadata'
import { container } from 'tsyringe'

import { runCommandLine } from '#jayfall/command'
import { ENTRY_PARTS, createDataParts } from '#jayfall/entry'

import { replaceMechanism } from './JayfallReplacedMechanisms'

const [node, script, mechanism, ...rest] = process.argv
container.registerInstance(ENTRY_PARTS, createDataParts(replaceMechanism(mechanism)))
runCommandLine([node, script, ...rest])
