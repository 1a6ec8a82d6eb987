import * as z from 'zod'

const booleanText = z.union([z.boolean(), z.enum(['true', 'false'])]).transform(value => value === true || value === 'true')

const nameList = z.string().default('').transform(text => text.split(',').map(name => name.trim()).filter(name => name !== ''))

/** Settings of the stand-in for a model engine. */
export const engineSettings = z.strictObject({
  kind: z.literal('engine'),
  /** host:port of the weight store; if empty, remote checkpoints load without a transfer from it. */
  weight_store: z.string().default(''),
  memory_capacity_mb: z.coerce.number().int().positive().default(80_000),
  kv_capacity_mb: z.coerce.number().int().positive().default(20_000),
  kv_mb_per_token: z.coerce.number().positive().default(0.1),
  enforces_fence: booleanText.default(true),
  batch_size: z.coerce.number().int().positive().default(8),
  token_interval_ms: z.coerce.number().positive().default(10),
  /** Time to the first token if the prompt's prefix is not cached. */
  prefill_ms: z.coerce.number().min(0).default(40),
  cached_prefill_ms: z.coerce.number().min(0).default(10),
  prefix_cache_count: z.coerce.number().int().positive().default(64),
  /** Load speed into accelerator memory, by the tier that holds the checkpoint. */
  memory_load_mb_per_second: z.coerce.number().positive().default(100_000),
  disk_load_mb_per_second: z.coerce.number().positive().default(20_000),
  adapter_load_ms: z.coerce.number().min(0).default(20),
  unload_ms: z.coerce.number().min(0).default(10),
  /** Capacity for checkpoints in host memory and on disk. */
  memory_tier_mb: z.coerce.number().min(0).default(100_000),
  disk_tier_mb: z.coerce.number().min(0).default(400_000),
  /** Checkpoints in each tier at the start, as comma-separated model@version. */
  memory_checkpoints: nameList,
  disk_checkpoints: nameList,
  cache_event_delay_ms: z.coerce.number().min(0).default(200),
  /** One in this many cache events is lost; 0 for none. */
  cache_event_gap_every: z.coerce.number().int().min(0).default(5),
  load_report_lag_ms: z.coerce.number().min(0).default(500),
  /** How long a finished stream can still be resumed. */
  stream_keep_ms: z.coerce.number().positive().default(60_000),
  /** A prompt that contains this text crashes the process when it starts to run; empty for none. */
  poison_marker: z.string().default('')
})

export type EngineSettings = Readonly<z.infer<typeof engineSettings>>
