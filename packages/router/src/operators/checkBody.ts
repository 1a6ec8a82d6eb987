import { checkBody as checkItemBody, isItemName } from '@figmount/records'

import type { ApplyItem } from '@figmount/schema'

/** Returns the first error in a change, which is reported before anything is written; undefined for a valid change. */
export const checkBody = (change: ApplyItem): string | undefined => {
  if (!isItemName(change.name)) return `"${change.name}" is neither service/<name> nor caller/<name>`
  if (change.retire) return undefined
  return checkItemBody(change.name, change.bodyJson).swap().toMaybe().extract()
}
