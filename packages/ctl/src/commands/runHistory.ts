import { EitherAsync, Left } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'

import { renderItems } from '../history/renderItems.js'
import { renderJson } from '../output/renderJson.js'
import { sendWrites } from './runApply.js'

import type { Fault } from '@figmount/base'
import type { ConfigItem } from '@figmount/schema'
import type { CommandContext, CommandResult } from './types.js'

const printItems = (context: CommandContext, items: readonly ConfigItem[]): boolean => {
  context.print(context.json ? renderJson(items) : renderItems(items))
  return true
}

const fetchVersions = (context: CommandContext, name: string): EitherAsync<Fault, readonly ConfigItem[]> =>
  context.client.call('ctl.history', async rpc => await rpc.history({ name })).map(response => response.items)

const newestVersion = (items: readonly ConfigItem[]): ConfigItem | undefined =>
  [...items].sort((a, b) => Number(b.version - a.version))[0]

const notFound = (subject: string): EitherAsync<Fault, never> =>
  EitherAsync.liftEither(Left(makeFault(FaultKind.NotFound, 'ctl.history', '', `${subject} does not exist`)))

/** Shows one item in force, or all of them if `name` is empty. */
export const runGet = (context: CommandContext, name: string): CommandResult =>
  context.client.call('ctl.get', async rpc => await rpc.get({ name })).map(response => {
    if (name === '' || context.json) return printItems(context, response.items)
    for (const item of response.items) context.print(`${item.name} version ${item.version}\n${renderJson(JSON.parse(item.bodyJson || 'null'))}`)
    return response.items.length > 0
  })

/** Shows the versions of one item. */
export const runHistory = (context: CommandContext, name: string): CommandResult =>
  fetchVersions(context, name).map(items => printItems(context, items))

/** Restores an earlier version of an item by writing its content as a new version. */
export const runRollBack = (context: CommandContext, name: string, version: number, waitMs: number): CommandResult =>
  fetchVersions(context, name).chain(items => {
    const target = items.find(item => Number(item.version) === version)
    const current = newestVersion(items)
    if (!target || !current) return notFound(`${name} version ${version}`)
    const write = { name, bodyJson: target.bodyJson, expectedVersion: Number(current.version), retire: target.retired }
    return sendWrites(context, [write], waitMs)
  })

/** Retires an item. */
export const runRetire = (context: CommandContext, name: string, waitMs: number): CommandResult =>
  fetchVersions(context, name).chain(items => {
    const current = newestVersion(items)
    if (!current) return notFound(name)
    return sendWrites(context, [{ name, bodyJson: '', expectedVersion: Number(current.version), retire: true }], waitMs)
  })
