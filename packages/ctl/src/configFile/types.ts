import type { CallerSpec, ItemName, ServiceSpec } from '@figmount/records'

/** An item as a configuration file describes it. */
export interface ConfigDraft {
  readonly name: ItemName
  readonly spec: ServiceSpec | CallerSpec
}
