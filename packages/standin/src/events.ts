import { defineEvents } from '@figmount/base'

/** Events of the stand-ins. */
export const StandinEvent = defineEvents({
  controlChanged: [6001, 'a command was received through the control API'],
  recordsAppended: [6101, 'the log appended records; `offset` is that of the first one'],
  answerLost: [6102, 'an append took effect but its answer was withheld'],
  appendRefused: [6103, 'an append exceeded the rate limit and was refused'],
  listChanged: [6201, 'the list of instances changed; readers see the change after the lag'],
  fetchStarted: [6301, 'the weight store began a transfer'],
  fetchFinished: [6302, 'the weight store finished a transfer'],
  fetchRefused: [6303, 'a transfer exceeded the rate limit of the weight store and was refused'],
  engineStarted: [6401, 'the engine started with empty memory'],
  loadStarted: [6402, 'the engine reserved memory and began to load a model'],
  loadFinished: [6403, 'a load finished and the model is resident'],
  loadFailed: [6404, 'a load failed and its memory was freed'],
  modelUnloaded: [6405, 'a model was unloaded from the memory of the engine'],
  adapterLoaded: [6406, 'an adapter was loaded and is resident'],
  adapterUnloaded: [6407, 'an adapter was unloaded from the memory of the engine'],
  orderRefused: [6408, 'the engine refused an order, with the reason'],
  generateStarted: [6409, 'a generation left the queue and started to run'],
  generateFinished: [6410, 'a generation produced its last token'],
  generateEnded: [6411, 'a generation ended before its last token, with the reason'],
  poisonRun: [6412, 'a request that crashes the engine started to run'],
  plainCalled: [6501, 'the plain service executed a call'],
  connectionOpened: [6601, 'the proxy accepted a connection'],
  connectionClosed: [6602, 'a connection through the proxy was closed'],
  faultSet: [6603, 'the proxy received a command']
})
