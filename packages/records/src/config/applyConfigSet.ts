import { checkBody, isItemName } from './parseBody.js'
import { callerOfVersion, findModel, findService } from './selectors.js'
import { MAX_HISTORY_BYTES, MAX_HISTORY_LENGTH, MAX_ITEMS } from '../fold/constants.js'
import { applied, ignored } from '../fold/outcomes.js'
import { serviceOfTarget } from '../rights/rightId.js'

import type { ServiceName } from '@figmount/base'
import type { Draft } from '../fold/openDraft.js'
import type { AgreedState, FoldOutcome, LogRecord, PlacedRecord } from '../fold/types.js'
import type { CallerSpec, ConfigVersion, ServiceSpec } from './types.js'

type ConfigSet = Extract<LogRecord, { kind: 'config.set' }>

const trimHistory = (versions: readonly ConfigVersion[]): readonly ConfigVersion[] => {
  const newest = versions.at(-1)
  if (!newest) return versions
  let length = newest.bodyJson.length
  let first = versions.length - 1
  while (first > 0 && versions.length - first < MAX_HISTORY_LENGTH) {
    length += versions[first - 1]?.bodyJson.length ?? 0
    if (length > MAX_HISTORY_BYTES) break
    first -= 1
  }
  return versions.slice(first)
}

// Each key must belong to one caller: requests with a shared key could be charged to either caller's share and priority.
const findKeyOwner = (state: AgreedState, record: ConfigSet, body: ServiceSpec | CallerSpec): string | undefined => {
  if (!('keySha256' in body)) return undefined
  for (const [item, version] of state.items) {
    if (version.retired || item === record.item || !item.startsWith('caller/')) continue
    if (callerOfVersion(version)?.keySha256 === body.keySha256) return item
  }
  return undefined
}

const findChangeError = (state: AgreedState, record: ConfigSet): string | undefined => {
  if (!isItemName(record.item)) return 'item: neither service/<name> nor caller/<name>'
  const current = state.items.get(record.item)
  const version = current?.version ?? 0
  if (record.expectedVersion !== version) {
    return `version ${version} is in force, set by ${current?.operatorName ?? 'nobody'}; expected ${record.expectedVersion}`
  }
  if (!current && state.items.size >= MAX_ITEMS) return `there are ${MAX_ITEMS} items already`
  if (record.bodyJson === '') return current && !current.retired ? undefined : 'there is nothing to retire'
  return checkBody(record.item, record.bodyJson)
    .caseOf({
      Left: error => error,
      Right: body => {
        const owner = findKeyOwner(state, record, body)
        return owner ? `keySha256: ${owner} has this key` : undefined
      }
    })
}

/**
 * Deletes free rights whose model is no longer configured, so that the state stays bounded while models come and go.
 * A right that was freed by a void and may not be granted yet is kept: it holds the time before which a grant is ignored.
 */
const deleteObsoleteRights = (draft: Draft, service: ServiceName): void => {
  const { state } = draft
  for (const right of state.rights.values()) {
    if (right.status !== 'free' || right.grantableFromMs > state.asOfMs) continue
    if (serviceOfTarget(right.key.target) !== service) continue
    const inForce = right.key.target.includes('/') ? findModel(state, right.key.target) : findService(state, service)
    if (!inForce) draft.change('rights').delete(right.id)
  }
}

/** Puts a new version of an item in force, unless another version than the expected one is in force or the body is invalid. */
export const applyConfigSet = (draft: Draft, placed: PlacedRecord, record: ConfigSet): FoldOutcome => {
  const error = findChangeError(draft.state, record)
  if (error) return ignored(error)
  const previous = draft.state.items.get(record.item)
  const next: ConfigVersion = {
    item: record.item,
    version: record.expectedVersion + 1,
    offset: placed.offset,
    recordId: record.recordId,
    operatorName: record.operatorName,
    changedAtMs: draft.state.asOfMs,
    bodyJson: record.bodyJson,
    retired: record.bodyJson === ''
  }
  draft.change('items').set(record.item, next)
  if (previous) {
    const earlier = draft.state.history.get(record.item) ?? []
    draft.change('history').set(record.item, trimHistory([...earlier, previous]))
  }
  if (record.item.startsWith('service/')) {
    deleteObsoleteRights(draft, record.item.slice('service/'.length) as ServiceName)
  }
  return applied
}
