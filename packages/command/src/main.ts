#!/usr/bin/env node
/** The `jayfall` executable. */

import { isMainThread } from 'node:worker_threads'

import { type ConfigurationFormat } from '#jayfall/configuration'

import { runCommandLine } from './JayfallCommandLine'

async function loadConfigurationFormat (): Promise<ConfigurationFormat> {
  const { PlatformConfigurationFormat } = await import('#jayfall/platform')
  return new PlatformConfigurationFormat()
}

// In the bundle, data threads load this file as well.
if (isMainThread) runCommandLine(process.argv, loadConfigurationFormat)
