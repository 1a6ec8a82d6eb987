import { EitherAsync } from 'purify-ts'
import { faultFrom } from '@figmount/base'
import { explainRequest, orderEvents, readEvents, renderText } from '@figmount/timeline'

import { renderJson } from '../output/renderJson.js'

import type { CommandContext, CommandResult } from './types.js'

/** Explains a request from event lines in files, without a router. Resolves to true if any event has the request key. */
export const explainFromFiles = (
  { json, print }: Pick<CommandContext, 'json' | 'print'>, requestKey: string, files: readonly string[]
): CommandResult => EitherAsync(async ({ throwE }) => {
  try {
    const { events } = await readEvents(files)
    const explanation = explainRequest(orderEvents(events), requestKey)
    if (json) {
      print(renderJson(explanation))
      return explanation.isFound
    }
    for (const line of renderText(explanation.events)) print(line)
    print(`${requestKey}: ${explanation.conclusion}`)
    return explanation.isFound
  } catch (error) {
    return throwE(faultFrom('ctl.explainLines', files.join(', '))(error))
  }
})
