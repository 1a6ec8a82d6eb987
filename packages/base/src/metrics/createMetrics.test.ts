import { expect } from 'chai'

import { createMetrics } from './createMetrics.js'

const sleep = async (durationMs: number): Promise<void> => await new Promise(resolve => { setTimeout(resolve, durationMs) })

describe('metrics', () => {
  it('count every duration, including those observed before the histogram module is loaded', async () => {
    // The histogram module is loaded on first use. Durations recorded before it is loaded, those of a process's first
    // requests, must not get lost or crash the process.
    const metrics = createMetrics()
    for (const valueMs of [1, 2, 3]) metrics.observeMs('request_ms', valueMs)
    for (let tries = 0; tries < 100 && metrics.lines().length === 0; tries++) await sleep(10)
    metrics.observeMs('request_ms', 4)
    expect(metrics.text()).to.include('figmount_request_ms_count 4')
  })
})
