import type { CallerSpec, ItemName, ServiceSpec } from '@figmount/records'

/** An item of the configuration as a file describes it. */
export interface ConfigDraft {
  readonly name: ItemName
  readonly spec: ServiceSpec | CallerSpec
}
