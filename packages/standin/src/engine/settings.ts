import * as z from 'zod'

const flag = z.union([z.boolean(), z.enum(['true', 'false'])]).transform(value => value === true || value === 'true')

const nameList = z.string().default('').transform(text => text.split(',').map(name => name.trim()).filter(name => name !== ''))

/** Settings of the stand-in for a model engine. */
export const engineSettings = z.strictObject({
  kind: z.literal('engine'),
  /** host:port of the weight store; empty where all checkpoints are at hand. */
  weight_store: z.string().default(''),
  memory_capacity_mb: z.coerce.number().int().positive().default(80_000),
  kv_capacity_mb: z.coerce.number().int().positive().default(20_000),
  kv_mb_per_token: z.coerce.number().positive().default(0.1),
  enforces_fence: flag.default(true),
  batch_size: z.coerce.number().int().positive().default(8),
  token_interval_ms: z.coerce.number().positive().default(10),
  /** Time to the first token of a prompt whose prefix is not cached. */
  prefill_ms: z.coerce.number().min(0).default(40),
  cached_prefill_ms: z.coerce.number().min(0).default(10),
  prefix_cache_count: z.coerce.number().int().positive().default(64),
  /** Speed at which a checkpoint goes to accelerator memory, by where it lies. */
  memory_load_mb_per_second: z.coerce.number().positive().default(100_000),
  disk_load_mb_per_second: z.coerce.number().positive().default(20_000),
  adapter_load_ms: z.coerce.number().min(0).default(20),
  unload_ms: z.coerce.number().min(0).default(10),
  /** Room for checkpoints in host memory and on disk. */
  memory_tier_mb: z.coerce.number().min(0).default(100_000),
  disk_tier_mb: z.coerce.number().min(0).default(400_000),
  /** Checkpoints that lie there at the start, as model@version. */
  memory_checkpoints: nameList,
  disk_checkpoints: nameList,
  cache_event_delay_ms: z.coerce.number().min(0).default(200),
  /** Every so many cache events one is lost; 0 for none. */
  cache_event_gap_every: z.coerce.number().int().min(0).default(5),
  load_report_lag_ms: z.coerce.number().min(0).default(500),
  /** How long a finished stream can still be resumed. */
  stream_keep_ms: z.coerce.number().positive().default(60_000),
  /** A prompt that contains this text kills the process when it begins to run; empty for none. */
  poison_marker: z.string().default('')
})

export type EngineSettings = Readonly<z.infer<typeof engineSettings>>
