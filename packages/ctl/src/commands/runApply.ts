import { readFileSync } from 'node:fs'
import { EitherAsync } from 'purify-ts'
import { describeSettingsFault, FaultKind, faultFrom, makeFault } from '@figmount/base'

import { applyWrites, toItemWrite } from '../apply/applyChanges.js'
import { diffItems, renderChange } from '../apply/diffItems.js'
import { waitUntilInForce } from '../apply/waitUntilInForce.js'
import { parseConfigFile } from '../configFile/parseConfigFile.js'
import { renderJson } from '../output/renderJson.js'

import type { Fault } from '@figmount/base'
import type { ApplyOutcome } from '@figmount/schema'
import type { ItemWrite } from '../apply/applyChanges.js'
import type { ItemChange } from '../apply/diffItems.js'
import type { ConfigDraft } from '../configFile/types.js'
import type { CommandContext, CommandResult } from './types.js'

interface ApplyArguments {
  readonly file: string
  readonly yes: boolean
  /** Shows the changes without applying them. */
  readonly dryRun: boolean
  /** Maximum time to wait until the change is in force everywhere; 0 does not wait. */
  readonly waitMs: number
}

const readDrafts = (file: string): EitherAsync<Fault, readonly ConfigDraft[]> =>
  EitherAsync<Fault, readonly ConfigDraft[]>(async ({ liftEither, throwE }) => {
    let text: string
    try {
      text = readFileSync(file, 'utf8')
    } catch (error) {
      return throwE(faultFrom('ctl.read', file)(error))
    }
    const drafts = parseConfigFile(file, text)
      .mapLeft(faults => makeFault(FaultKind.Invalid, 'ctl.parse', file, faults.map(describeSettingsFault).join('\n')))
    return await liftEither(drafts)
  })

const renderOutcome = (outcome: ApplyOutcome): string => {
  const version = outcome.current ? ` version ${outcome.current.version}` : ''
  const rejection = outcome.accepted ? '' : ` by ${outcome.current?.operatorName ?? 'nobody'}: ${outcome.detail}`
  return `${outcome.name}: ${outcome.accepted ? 'accepted' : 'NOT accepted'},${version}${rejection}`
}

const waitAndReport = async (context: CommandContext, outcomes: readonly ApplyOutcome[], waitMs: number): Promise<boolean> => {
  const offsets = outcomes.map(outcome => outcome.current?.offset ?? 0n)
  const highestOffset = offsets.reduce((a, b) => a > b ? a : b, 0n)
  const result = await waitUntilInForce(context.client, context.timers, highestOffset, waitMs).run()
  return result.caseOf({
    Left: fault => {
      context.print(`in force: unknown, ${fault.message}`)
      return false
    },
    Right: inForce => {
      const line = inForce.isEverywhere ? `in force everywhere after ${inForce.tookMs} ms` : `not in force yet at: ${inForce.missing.join(', ')}`
      context.print(line)
      return inForce.isEverywhere
    }
  })
}

/** Sends writes and prints each outcome; resolves to false if any was rejected or is not in force everywhere in time. */
export const sendWrites = (context: CommandContext, writes: readonly ItemWrite[], waitMs: number): CommandResult =>
  applyWrites(context.client, writes).chain(outcomes => EitherAsync(async () => {
    if (context.json) context.print(renderJson(outcomes))
    else for (const outcome of outcomes) context.print(renderOutcome(outcome))
    const accepted = outcomes.every(outcome => outcome.accepted)
    if (!accepted || waitMs === 0) return accepted
    return await waitAndReport(context, outcomes, waitMs)
  }))

const isConfirmed = async (context: CommandContext, args: ApplyArguments, changes: readonly ItemChange[]): Promise<boolean> => {
  if (!context.json) for (const change of changes) context.print(renderChange(change).join('\n'))
  if (args.dryRun) return false
  return args.yes || await context.confirm('Apply these changes?')
}

/** Applies a configuration file: shows the changes, asks for confirmation, writes them and waits until they are in force. */
export const runApply = (context: CommandContext, args: ApplyArguments): CommandResult =>
  readDrafts(args.file).chain(drafts =>
    context.client.call('ctl.get', async rpc => await rpc.get({})).chain(current => EitherAsync<Fault, boolean>(async ({ fromPromise }) => {
      const changes = diffItems(drafts, current.items)
      if (changes.length === 0) {
        context.print(context.json ? '[]' : 'nothing to change')
        return true
      }
      if (!await isConfirmed(context, args, changes)) return args.dryRun
      return await fromPromise(sendWrites(context, changes.map(toItemWrite), args.waitMs).run())
    })))
