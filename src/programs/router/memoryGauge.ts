import {Gauge, Registry} from 'prom-client';

import {ReceivedMemory} from './receivedMemory.js';

/** Registers the gauge of the memory that is held for others, by what it is held for. */
export function registerMemoryGauge(
  metrics: Registry,
  {requests, responses, unread, messages}: ReceivedMemory,
): void {
  const budgets = {requests, responses, unread, messages};
  new Gauge({
    name: 'redwing_held_bytes',
    help: 'Bytes held of what others send, or have not read.',
    labelNames: ['for'],
    registers: [metrics],
    collect() {
      for (const [purpose, budget] of Object.entries(budgets)) {
        this.set({for: purpose}, budget.usedBytes);
      }
    },
  });
}
