import { defineEvents } from '@figmount/base'

/** Events of the stand-ins for the platform and for backend servers. */
export const StandinEvent = defineEvents({
  controlChanged: [6001, 'a fault or a change was asked for through the control surface'],
  recordsAppended: [6101, 'the log took records; `offset` is the first one'],
  answerLost: [6102, 'an append took effect and its answer was withheld'],
  appendRefused: [6103, 'an append was over the rate limit'],
  listChanged: [6201, 'the list of instances changed; readers see it after the lag'],
  fetchStarted: [6301, 'the weight store began a transfer'],
  fetchFinished: [6302, 'the weight store finished a transfer'],
  fetchRefused: [6303, 'a transfer was over the rate limit of the weight store'],
  engineStarted: [6401, 'the engine started with empty memory'],
  loadStarted: [6402, 'the engine reserved memory and began to load a model'],
  loadFinished: [6403, 'a model is resident'],
  loadFailed: [6404, 'a load failed and its memory is free again'],
  modelUnloaded: [6405, 'a model left the memory of the engine'],
  adapterLoaded: [6406, 'an adapter is resident'],
  adapterUnloaded: [6407, 'an adapter left the memory of the engine'],
  orderRefused: [6408, 'the engine refused an order, with the reason'],
  generateStarted: [6409, 'a generation left the queue and runs'],
  generateFinished: [6410, 'a generation produced its last token'],
  generateEnded: [6411, 'a generation ended early, with the reason'],
  poisonRun: [6412, 'a request that crashes the engine began to run'],
  plainCalled: [6501, 'the plain service carried out a call'],
  connectionOpened: [6601, 'the proxy took a connection'],
  connectionClosed: [6602, 'a connection through the proxy ended'],
  faultSet: [6603, 'the proxy was given a fault']
})
