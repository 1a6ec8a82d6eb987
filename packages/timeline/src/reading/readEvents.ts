import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import * as z from 'zod'

import type { EventRecord } from '@figmount/base'

const eventLine = z.looseObject({
  number: z.int(),
  name: z.string(),
  instance: z.string(),
  role: z.string(),
  sequence: z.int(),
  clock: z.int(),
  atUnixMs: z.number()
})

/** Events of one run, and how many lines were none. */
export interface ReadEvents {
  readonly events: readonly EventRecord[]
  readonly rejectedLineCount: number
}

/** Reads one line; undefined when it is no event. A collector may have put its own time and source before the object. */
export const parseEventLine = (line: string): EventRecord | undefined => {
  const start = line.indexOf('{')
  if (start === -1) return undefined
  try {
    const result = eventLine.safeParse(JSON.parse(line.slice(start)))
    return result.success ? result.data as unknown as EventRecord : undefined
  } catch {
    return undefined
  }
}

/** Reads event files, one JSON object a line; other lines, such as logs of other programs, are counted and passed over. */
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
