import { readFileSync } from 'node:fs'
import { EitherAsync } from 'purify-ts'
import { describeSettingsFault, FaultKind, faultFrom, makeFault } from '@figmount/base'

import { applyWrites, writeOfChange } from '../apply/applyChanges.js'
import { diffItems, renderChange } from '../apply/diffItems.js'
import { waitInForce } from '../apply/waitInForce.js'
import { parseConfigFile } from '../configFile/parseConfigFile.js'
import { printJson } from '../output/printJson.js'

import type { Fault } from '@figmount/base'
import type { ApplyOutcome } from '@figmount/schema'
import type { ItemWrite } from '../apply/applyChanges.js'
import type { ItemChange } from '../apply/diffItems.js'
import type { ConfigDraft } from '../configFile/types.js'
import type { CommandContext, CommandResult } from './types.js'

interface ApplyArguments {
  readonly file: string
  readonly yes: boolean
  /** Show what would change and stop. */
  readonly dryRun: boolean
  /** Time to wait until the change is in force everywhere; 0 does not wait. */
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

const outcomeLine = (outcome: ApplyOutcome): string => {
  const version = outcome.current ? ` version ${outcome.current.version}` : ''
  const winner = outcome.accepted ? '' : ` by ${outcome.current?.operatorName ?? 'nobody'}: ${outcome.detail}`
  return `${outcome.name}: ${outcome.accepted ? 'accepted' : 'NOT accepted'},${version}${winner}`
}

const reportInForce = async (context: CommandContext, outcomes: readonly ApplyOutcome[], waitMs: number): Promise<boolean> => {
  const offsets = outcomes.map(outcome => outcome.current?.offset ?? 0n)
  const highest = offsets.reduce((a, b) => a > b ? a : b, 0n)
  const inForce = await waitInForce(context.client, context.timers, highest, waitMs).run()
  return inForce.caseOf({
    Left: fault => {
      context.print(`in force: unknown, ${fault.message}`)
      return false
    },
    Right: found => {
      const line = found.everywhere ? `in force everywhere after ${found.tookMs} ms` : `not in force yet at: ${found.missing.join(', ')}`
      context.print(line)
      return found.everywhere
    }
  })
}

/** Sends writes and reports each outcome; false when any lost its race. */
export const sendWrites = (context: CommandContext, writes: readonly ItemWrite[], waitMs: number): CommandResult =>
  applyWrites(context.client, writes).chain(outcomes => EitherAsync(async () => {
    if (context.json) context.print(printJson(outcomes))
    else for (const outcome of outcomes) context.print(outcomeLine(outcome))
    const accepted = outcomes.every(outcome => outcome.accepted)
    if (!accepted || waitMs === 0) return accepted
    return await reportInForce(context, outcomes, waitMs)
  }))

const agreed = async (context: CommandContext, args: ApplyArguments, changes: readonly ItemChange[]): Promise<boolean> => {
  if (!context.json) for (const change of changes) context.print(renderChange(change).join('\n'))
  if (args.dryRun) return false
  return args.yes || await context.confirm('Apply these changes?')
}

/** Applies a configuration file: shows the difference, asks, writes, and waits until it is in force. */
export const runApply = (context: CommandContext, args: ApplyArguments): CommandResult =>
  readDrafts(args.file).chain(drafts =>
    context.client.call('ctl.get', async rpc => await rpc.get({})).chain(current => EitherAsync<Fault, boolean>(async ({ fromPromise }) => {
      const changes = diffItems(drafts, current.items)
      if (changes.length === 0) {
        context.print(context.json ? '[]' : 'nothing to change')
        return true
      }
      if (!await agreed(context, args, changes)) return args.dryRun
      return await fromPromise(sendWrites(context, changes.map(writeOfChange), args.waitMs).run())
    })))
