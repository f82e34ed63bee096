import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';

/** An engine whose model is split over `small` and `fast` accelerators in two data centres. */
export function layeredEngine(layerCount: number): EngineSettings {
  return {
    slots: 100,
    kvTokens: 50_000,
    kvTokenBytes: 8_000 * layerCount,
    tokensPerEvent: 2,
    stepMilliseconds: 1,
    promptTokensPerSecond: 200_000,
    usualPromptTokens: 700,
    usualAnswerTokens: 150,
    reportLagMilliseconds: 200,
    models: [{name: 'model', loadSeconds: 14}],
    delays: [{from: 'north', to: 'south', milliseconds: 0.6}],
    layers: {
      layerCount,
      layerMegabytes: 1_000,
      activationBytes: 30_000,
      pipeMegabits: 9_000,
      kinds: [
        {name: 'small', memoryMegabytes: 9_000, stepFactor: 15, readFactor: 10},
        {name: 'fast', memoryMegabytes: 20_000, stepFactor: 3, readFactor: 3},
      ],
    },
  };
}
