import { readFileSync } from 'node:fs'

/** Clock ticks per second in /proc on Linux. */
const TICKS_PER_SECOND = 100
const US_PER_SECOND = 1_000_000
const KB_PER_MB = 1024
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12

/** Processor time that a process has used since its start, in µs; resolution 10 ms. */
export const processorUsOf = (pid: number): number => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])
  return ticks * US_PER_SECOND / TICKS_PER_SECOND
}

/** Resident memory of a process in MB. */
export const residentMbOf = (pid: number): number =>
  Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / KB_PER_MB
