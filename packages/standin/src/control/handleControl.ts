import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ControlApi, HandlePlain } from './types.js'

const CONTROL_PATH = '/control'

/** Maximum size of a command in bytes; commands are a few keys long. */
const MAX_COMMAND_BYTES = 256 * 1024

const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

/** Reads a whole body; undefined if it is larger than `maxBytes`. */
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

const runCommand = async (controlApi: ControlApi, request: IncomingMessage, response: ServerResponse): Promise<void> => {
  try {
    const body = await readBody(request, MAX_COMMAND_BYTES)
    if (!body) return sendJson(response, 413, { error: 'command too large' })
    const result = controlApi.run(JSON.parse(body.toString('utf8')))
    sendJson(response, 200, result ?? {})
  } catch (error) {
    sendJson(response, 400, { error: (error as Error).message })
  }
}

/** Serves `GET /control` (state and counters) and `POST /control` (one command as JSON). */
export const handleControl = (controlApi: ControlApi): HandlePlain => (request, response) => {
  if (request.url !== CONTROL_PATH) return false
  if (request.method === 'GET') {
    sendJson(response, 200, controlApi.dump())
    return true
  }
  runCommand(controlApi, request, response)
  return true
}
