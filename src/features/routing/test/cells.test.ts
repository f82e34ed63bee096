import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

import {CellOwnership} from '../common/cellOwnership.js';
import {partitionIntoCells} from '../common/cells.js';
import {engineMember, instanceMember, systemView} from './routingFakes.js';

const replicaCount = fc.integer({min: 1, max: 120});
const cellSize = fc.integer({min: 1, max: 16});

function replicas(count: number, prefix: string) {
  return Array.from({length: count}, (_, index) =>
    engineMember(`${prefix}${index}`),
  );
}

function cellOfEach(count: number, prefix: string, size: number) {
  const found = new Map<string, string>();
  for (const cell of partitionIntoCells(
    replicas(count, prefix),
    size,
  ).values()) {
    cell.engines.forEach(engine => found.set(engine.id, cell.id));
  }
  return found;
}

describe('cells', () => {
  test('hold every engine exactly once', () => {
    fc.assert(
      fc.property(
        replicaCount,
        cellSize,
        fc.string(),
        (count, size, prefix) => {
          const cells = [
            ...partitionIntoCells(replicas(count, prefix), size).values(),
          ];
          const ids = cells.flatMap(cell =>
            cell.engines.map(engine => engine.id),
          );
          expect(ids.length).toBe(count);
          expect(new Set(ids).size).toBe(count);
          expect(cells.length).toBeLessThanOrEqual(Math.ceil(count / size));
        },
      ),
      {seed: 1},
    );
  });

  test('change for only a few replicas when one is added', () => {
    fc.assert(
      fc.property(
        replicaCount,
        cellSize,
        fc.string(),
        (count, size, prefix) => {
          const before = cellOfEach(count, prefix, size);
          const after = cellOfEach(count + 1, prefix, size);
          const moved = [...before].filter(
            ([id, cell]) => after.get(id) !== cell,
          );
          const buckets = Math.ceil((count + 1) / size);
          const added = buckets > Math.ceil(count / size);
          const expected = added ? count / buckets : 0;
          expect(moved.length).toBeLessThanOrEqual(
            expected + 5 * Math.sqrt(expected + 1) * Number(added),
          );
        },
      ),
      {seed: 2},
    );
  });

  test.each([
    {name: 'most engines', centres: ['b', 'a', 'b'], home: 'b/0'},
    {name: 'the first name on a tie', centres: ['b', 'a'], home: 'a/0'},
  ])('of a replica across data centres are in the one with $name', row => {
    const engines = row.centres.map((dataCentre, index) =>
      engineMember(`e${index}`, {dataCentre, group: 'replica'}),
    );
    expect([...partitionIntoCells(engines, 8).keys()]).toEqual([row.home]);
  });
});

describe('ownership', () => {
  const instances = Array.from({length: 40}, (_, index) =>
    instanceMember(`i${index}`),
  );
  const cells = [...partitionIntoCells(replicas(400, 'e'), 4).values()];

  function owners(candidates: typeof instances): Map<string, string> {
    const {instances: views} = systemView(candidates, []);
    const ownership = new CellOwnership(views);
    return new Map(
      cells.map(cell => [cell.id, ownership.ownersOf(cell, 1)[0]!.id]),
    );
  }

  test('changes only for the cells of an instance that leaves', () => {
    const before = owners(instances);
    fc.assert(
      fc.property(fc.integer({min: 0, max: 39}), leavingIndex => {
        const leaving = `i${leavingIndex}`;
        const after = owners(
          instances.filter(instance => instance.id !== leaving),
        );
        for (const [cell, owner] of before) {
          expect(after.get(cell) === owner).toBe(owner !== leaving);
        }
      }),
      {seed: 3},
    );
  });

  const near = instanceMember('near');
  const region = instanceMember('region', {dataCentre: 'north-2'});
  const far = instanceMember('far', {dataCentre: 'x', region: 'y'});
  test.each([
    {
      name: 'in the data centre',
      candidates: [far, region, near],
      owner: 'near',
    },
    {name: 'in the region', candidates: [far, region], owner: 'region'},
    {name: 'anywhere', candidates: [far], owner: 'far'},
  ])('goes to an instance $name', ({candidates, owner}) => {
    expect(new Set(owners(candidates).values())).toEqual(new Set([owner]));
  });

  test('never goes to an instance that is not ready', () => {
    const leaving = instanceMember('near', {state: 'leaving'});
    expect([...owners([leaving, far]).values()]).not.toContain('near');
  });
});
