import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import * as z from 'zod'

import type { EventRecord } from '@figmount/base'

const eventSchema = z.looseObject({
  number: z.int(),
  name: z.string(),
  instance: z.string(),
  role: z.string(),
  sequence: z.int(),
  clock: z.int(),
  atUnixMs: z.number()
})

/** Events of one run, and the number of lines that were not events. */
export interface ReadEvents {
  readonly events: readonly EventRecord[]
  readonly rejectedLineCount: number
}

/** Parses one line; undefined if it is not an event. A log collector may have put its own time and source before the JSON object. */
export const parseEventLine = (line: string): EventRecord | undefined => {
  const start = line.indexOf('{')
  if (start === -1) return undefined
  try {
    const result = eventSchema.safeParse(JSON.parse(line.slice(start)))
    return result.success ? result.data as unknown as EventRecord : undefined
  } catch {
    return undefined
  }
}

/** Reads event files with one JSON object per line; other lines, such as logs of other programs, are counted and skipped. */
export const readEvents = async (files: readonly string[]): Promise<ReadEvents> => {
  const events: EventRecord[] = []
  let rejectedLineCount = 0
  for (const file of files) {
    const input = file === '-' ? process.stdin : createReadStream(file)
    for await (const line of createInterface({ input })) {
      const event = parseEventLine(line)
      if (event) events.push(event)
      else if (line.trim() !== '') rejectedLineCount += 1
    }
  }
  return { events, rejectedLineCount }
}
