/** Branded identifiers and quantities, so that one kind cannot be passed for another. */
type Brand<T, Name extends string> = T & { readonly __brand: Name }

/** Name of an instance in the platform's instance list. */
export type InstanceName = Brand<string, 'InstanceName'>
/** Changes at every start of a process; later starts compare greater as strings. */
export type Incarnation = Brand<string, 'Incarnation'>
/** One run of one request: unique over all routers and their restarts. */
export type AttemptId = Brand<string, 'AttemptId'>
/** A caller's idempotency key, unique together with the caller's name. */
export type RequestKey = Brand<string, 'RequestKey'>
export type CallerName = Brand<string, 'CallerName'>
export type ServiceName = Brand<string, 'ServiceName'>
/** `service/model`, unique over all services. */
export type ModelId = Brand<string, 'ModelId'>
export type DataCentre = Brand<string, 'DataCentre'>
/** Position in the platform's log. Also serves as fencing number. */
export type LogOffset = Brand<number, 'LogOffset'>
