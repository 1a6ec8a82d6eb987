import { renderTable } from '../output/renderTable.js'

import type { ConfigItem } from '@figmount/schema'

/** Renders versions of items as a table, in the given order. */
export const renderItems = (items: readonly ConfigItem[]): string =>
  renderTable(
    ['item', 'version', 'offset', 'operator', 'changed at', 'retired'],
    items.map(item => [
      item.name, Number(item.version), Number(item.offset), item.operatorName,
      new Date(Number(item.changedAtMs)).toISOString(), item.retired ? 'yes' : ''
    ]))
