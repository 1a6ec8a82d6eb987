import { renderTable } from '../output/renderTable.js'

import type { ConfigItem } from '@figmount/schema'

/** Versions of items, newest knowledge last, as a table for people. */
export const renderItems = (items: readonly ConfigItem[]): string =>
  renderTable(
    ['item', 'version', 'offset', 'operator', 'changed at', 'retired'],
    items.map(item => [
      item.name, Number(item.version), Number(item.offset), item.operatorName,
      new Date(Number(item.changedAtMs)).toISOString(), item.retired ? 'yes' : ''
    ]))
