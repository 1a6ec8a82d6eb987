import { EitherAsync, Left } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'

import { renderItems } from '../history/renderItems.js'
import { printJson } from '../output/printJson.js'
import { sendWrites } from './runApply.js'

import type { Fault } from '@figmount/base'
import type { ConfigItem } from '@figmount/schema'
import type { CommandContext, CommandResult } from './types.js'

const show = (context: CommandContext, items: readonly ConfigItem[]): boolean => {
  context.print(context.json ? printJson(items) : renderItems(items))
  return true
}

const versionsOf = (context: CommandContext, name: string): EitherAsync<Fault, readonly ConfigItem[]> =>
  context.client.call('ctl.history', async rpc => await rpc.history({ name })).map(response => response.items)

const newest = (items: readonly ConfigItem[]): ConfigItem | undefined =>
  [...items].sort((a, b) => Number(b.version - a.version))[0]

const missing = (what: string): EitherAsync<Fault, never> =>
  EitherAsync.liftEither(Left(makeFault(FaultKind.NotFound, 'ctl.history', '', `${what} does not exist`)))

/** Shows items in force, one or all. */
export const runGet = (context: CommandContext, name: string): CommandResult =>
  context.client.call('ctl.get', async rpc => await rpc.get({ name })).map(response => {
    if (name === '' || context.json) return show(context, response.items)
    for (const item of response.items) context.print(`${item.name} version ${item.version}\n${printJson(JSON.parse(item.bodyJson || 'null'))}`)
    return response.items.length > 0
  })

/** Shows the versions of one item. */
export const runHistory = (context: CommandContext, name: string): CommandResult =>
  versionsOf(context, name).map(items => show(context, items))

/** Sets an item to what an earlier version said, as a new version. */
export const runRollBack = (context: CommandContext, name: string, version: number, waitMs: number): CommandResult =>
  versionsOf(context, name).chain(items => {
    const wanted = items.find(item => Number(item.version) === version)
    const current = newest(items)
    if (!wanted || !current) return missing(`${name} version ${version}`)
    const write = { name, bodyJson: wanted.bodyJson, expectedVersion: Number(current.version), retire: wanted.retired }
    return sendWrites(context, [write], waitMs)
  })

/** Retires an item. */
export const runRetire = (context: CommandContext, name: string, waitMs: number): CommandResult =>
  versionsOf(context, name).chain(items => {
    const current = newest(items)
    if (!current) return missing(name)
    return sendWrites(context, [{ name, bodyJson: '', expectedVersion: Number(current.version), retire: true }], waitMs)
  })
