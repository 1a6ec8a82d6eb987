import { checkBody as checkItemBody, isItemName } from '@figmount/records'

import type { ApplyItem } from '@figmount/schema'

/** The first mistake in a change, told to its operator before anything is written; undefined if there is none. */
export const checkBody = (change: ApplyItem): string | undefined => {
  if (!isItemName(change.name)) return `"${change.name}" is neither service/<name> nor caller/<name>`
  if (change.retire) return undefined
  return checkItemBody(change.name, change.bodyJson).swap().toMaybe().extract()
}
