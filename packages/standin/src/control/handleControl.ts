import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ControlSurface, HandlePlain } from './types.js'

const CONTROL_PATH = '/control'

/** Largest command in bytes; commands are a few keys long. */
const MAX_COMMAND_BYTES = 256 * 1024

const answerJson = (response: ServerResponse, status: number, body: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

/** Reads a whole body, or undefined when it is larger than `maxBytes`. */
export const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  for await (const chunk of request) {
    sizeBytes += (chunk as Buffer).length
    if (sizeBytes > maxBytes) return undefined
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks)
}

const runCommand = async (surface: ControlSurface, request: IncomingMessage, response: ServerResponse): Promise<void> => {
  try {
    const body = await readBody(request, MAX_COMMAND_BYTES)
    if (!body) return answerJson(response, 413, { error: 'command too large' })
    const result = surface.run(JSON.parse(body.toString('utf8')))
    answerJson(response, 200, result ?? {})
  } catch (error) {
    answerJson(response, 400, { error: (error as Error).message })
  }
}

/** Serves `GET /control` (state and counters) and `POST /control` (one command as JSON). */
export const handleControl = (surface: ControlSurface): HandlePlain => (request, response) => {
  if (request.url !== CONTROL_PATH) return false
  if (request.method === 'GET') {
    answerJson(response, 200, surface.dump())
    return true
  }
  runCommand(surface, request, response)
  return true
}
