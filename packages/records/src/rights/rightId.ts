import { ConfigLimit } from '../config/types.js'

import type { ModelId, ServiceName } from '@figmount/base'
import type { RightId, RightKey } from './types.js'

const REPLICA_ID = /^replica:([^:]+):(\d+)$/
const KEYS_ID = /^keys:([^:]+)$/

/** Text form of a right key; two keys denote the same right exactly if their texts are equal. */
export const rightIdOf = (key: RightKey): RightId =>
  (key.kind === 'replica' ? `replica:${key.target}:${key.slotIndex}` : `keys:${key.target}`) as RightId

/** Parses the text form of a right key; undefined if the text is invalid. */
export const parseRightId = (text: string): RightKey | undefined => {
  const [, replicaTarget, slotText] = REPLICA_ID.exec(text) ?? []
  if (replicaTarget !== undefined) {
    const slotIndex = Number(slotText)
    if (slotIndex >= ConfigLimit.replicasPerModel || String(slotIndex) !== slotText) return undefined
    return { kind: 'replica', target: replicaTarget as ModelId, slotIndex }
  }
  const [, keysTarget] = KEYS_ID.exec(text) ?? []
  return keysTarget === undefined ? undefined : { kind: 'keys', target: keysTarget as ModelId }
}

/** The service of a right's target: the part before the slash, or the whole target for a plain service. */
export const serviceOfTarget = (target: ModelId): ServiceName => {
  const slash = target.indexOf('/')
  return (slash < 0 ? target : target.slice(0, slash)) as string as ServiceName
}
