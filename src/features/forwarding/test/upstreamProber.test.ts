import {describe, expect, it} from 'vitest';

import {createHarness, engines} from './forwardingSetup.js';

/** Which upstreams of a silent path count as lost, by when their reports arrive. */

const NEVER = Infinity;
const [LOST] = engines;

interface ReportCase {
  readonly name: string;
  /** Milliseconds after which the first upstream responds. */
  readonly first: number;
  /** Milliseconds after which the others respond, one every `gap`. */
  readonly others: number;
  readonly gap: number;
  /** Milliseconds within which the first upstream is suspected; undefined if none is to be suspected. */
  readonly within: number | undefined;
}

const cases: readonly ReportCase[] = [
  {
    name: 'all respond late together',
    first: 60,
    others: 60,
    gap: 0,
    within: undefined,
  },
  {
    name: 'all respond late, one after the other',
    first: 140,
    others: 40,
    gap: 25,
    within: undefined,
  },
  {
    name: 'one responds just in time and the others later',
    first: 70,
    others: 14,
    gap: 14,
    within: undefined,
  },
  {name: 'one never responds', first: NEVER, others: 5, gap: 1, within: 40},
  {
    name: 'one never responds and the others are late',
    first: NEVER,
    others: 60,
    gap: 5,
    within: 140,
  },
  {
    name: 'none ever responds',
    first: NEVER,
    others: NEVER,
    gap: 0,
    within: 260,
  },
];

describe('probes of the upstreams of a silent path', () => {
  // Guards against taking sound upstreams for lost while the responses of all of them wait for this instance's own link.
  it.each(cases)(
    'suspect within $within ms when $name',
    async ({first, others, gap, within}) => {
      const harness = createHarness();
      const {clock, control, services, suspicions} = harness;
      const suspectedAt = new Map<string, number>();
      const startedAt = clock.monotonicMilliseconds();
      suspicions.onDidSuspect(({upstream}) =>
        suspectedAt.set(upstream, clock.monotonicMilliseconds() - startedAt),
      );
      engines.forEach(({id}, index) =>
        control.reportDelays.set(
          id,
          index === 0 ? first : others + index * gap,
        ),
      );
      for (const upstream of engines) {
        void services.prober.probe(upstream, 'silent', {});
      }
      for (let elapsed = 0; elapsed < 300; elapsed += 5) {
        await harness.advance(5);
      }
      if (within === undefined) {
        expect([...suspectedAt]).toEqual([]);
      } else {
        expect(suspectedAt.get(LOST!.id)).toBeLessThanOrEqual(within);
        const sound = others === NEVER ? engines : [LOST!];
        expect(suspectedAt.size).toBe(sound.length);
      }
    },
  );
});
