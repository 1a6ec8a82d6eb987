/** Branded type: values of differently branded types cannot be confused. */
type Brand<T, Name extends string> = T & { readonly __brand: Name }

/** Name of an instance in the platform's list of instances. */
export type InstanceName = Brand<string, 'InstanceName'>
/** Identifies one run of a process: new at every start; later starts compare greater as strings. */
export type Incarnation = Brand<string, 'Incarnation'>
/** One execution attempt of a request; unique across all routers and their restarts. */
export type AttemptId = Brand<string, 'AttemptId'>
/** Idempotency key of a request; unique per caller name. */
export type RequestKey = Brand<string, 'RequestKey'>
export type CallerName = Brand<string, 'CallerName'>
export type ServiceName = Brand<string, 'ServiceName'>
/** `service/model`, unique across services. */
export type ModelId = Brand<string, 'ModelId'>
export type DataCentre = Brand<string, 'DataCentre'>
/** Position in the platform's log; also serves as fencing token. */
export type LogOffset = Brand<number, 'LogOffset'>
