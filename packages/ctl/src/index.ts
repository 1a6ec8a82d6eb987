/** Operators' tool; its reader of configuration files serves the demo and the load tool too. */
export { parseConfigFile } from './configFile/parseConfigFile.js'
export type { ConfigDraft } from './configFile/types.js'
export { renderTable } from './output/renderTable.js'
