import { EitherAsync } from 'purify-ts'
import { faultFrom } from '@figmount/base'
import { explainRequest, orderEvents, readEvents, renderText } from '@figmount/timeline'

import { printJson } from '../output/printJson.js'

import type { CommandContext, CommandResult } from './types.js'

/** Explains one request by the lines that processes wrote; needs no router. True when a line names the request. */
export const explainLines = (
  { json, print }: Pick<CommandContext, 'json' | 'print'>, requestKey: string, files: readonly string[]
): CommandResult => EitherAsync(async ({ throwE }) => {
  try {
    const { events } = await readEvents(files)
    const explanation = explainRequest(orderEvents(events), requestKey)
    if (json) {
      print(printJson(explanation))
      return explanation.isFound
    }
    for (const line of renderText(explanation.events)) print(line)
    print(`${requestKey}: ${explanation.conclusion}`)
    return explanation.isFound
  } catch (error) {
    return throwE(faultFrom('ctl.explainLines', files.join(', '))(error))
  }
})
