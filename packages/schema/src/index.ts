/** Generated messages and services of figmount's schema files under `proto/`. */
export * from './gen/figmount/v1/caller_pb.js'
export * from './gen/figmount/v1/operator_pb.js'
export * from './gen/figmount/v1/platform_pb.js'
export * from './gen/figmount/v1/engine_pb.js'
