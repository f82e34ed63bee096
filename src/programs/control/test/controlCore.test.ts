import {afterEach, describe, expect, it} from 'vitest';

import {ControlCluster, setClass} from './controlCluster.js';

const FIVE = ['a', 'b', 'c', 'd', 'e'];

let cluster: ControlCluster;

async function started(): Promise<ControlCluster> {
  cluster = new ControlCluster(FIVE);
  await cluster.startAll();
  return cluster;
}

function standings(): readonly string[] {
  return FIVE.map(id => cluster.standing(id));
}

function revisions(): readonly number[] {
  return FIVE.map(id => cluster.revision(id));
}

afterEach(() => cluster.dispose());

describe('a change of the configuration', () => {
  it('is in force on all instances at once', async () => {
    await started();
    const report = await cluster.propose('a', [setClass('orders')]);
    expect(report.result.ok).toBe(true);
    expect(report.handover).toEqual({acknowledged: 5, listed: 5});
    await cluster.run(1);
    expect(revisions()).toEqual([1, 1, 1, 1, 1]);
    expect(standings()).toEqual(Array(5).fill('serving'));
  });

  it('reaches an instance that is cut off from the table', async () => {
    await started();
    cluster.cutTable('e');
    await cluster.run(30);
    expect(cluster.standing('e')).toBe('serving');
    await cluster.propose('a', [setClass('orders')]);
    await cluster.run(1);
    expect(cluster.revision('e')).toBe(1);
  });

  it('reaches an instance that is cut off from its peers', async () => {
    await started();
    cluster.isolate('e');
    await cluster.propose('a', [setClass('orders')]);
    await cluster.run(3);
    expect(cluster.revision('e')).toBe(1);
    await cluster.run(30);
    expect(cluster.standing('e')).toBe('serving');
  });
});

describe('a proposal', () => {
  it('is refused where no majority can be told of it', async () => {
    await started();
    ['b', 'c', 'd', 'e'].forEach(id => cluster.cutTable(id));
    await cluster.run(20);
    cluster.isolate('a');
    await cluster.run(40);
    expect(standings()).toEqual(Array(5).fill('serving'));
    const report = await cluster.propose('a', [setClass('orders')]);
    expect(report.result).toMatchObject({error: {kind: 'unavailable'}});
    await cluster.run(5);
    expect(revisions()).toEqual([0, 0, 0, 0, 0]);
  });

  it('by a minority just before the majority loses the table changes nothing', async () => {
    await started();
    ['c', 'd', 'e'].forEach(id => cluster.groups.set(id, 1));
    const report = await cluster.propose('a', [setClass('orders')]);
    expect(report.result).toMatchObject({error: {kind: 'unavailable'}});
    ['a', 'c', 'd', 'e'].forEach(id => cluster.cutTable(id));
    await cluster.run(40);
    expect(revisions()).toEqual([0, 0, 0, 0, 0]);
  });

  it('is refused by an instance that has no list of instances yet', async () => {
    cluster = new ControlCluster(FIVE);
    cluster.platform.addFault({kind: 'down'}, {part: 'membership'});
    cluster.start('a');
    await cluster.run(5);
    const report = await cluster.propose('a', [setClass('orders')]);
    expect(report.result).toMatchObject({error: {kind: 'unavailable'}});
  });

  it('is refused by a minority and taken by the majority of a cut', async () => {
    await started();
    ['d', 'e'].forEach(id => cluster.groups.set(id, 1));
    const minority = await cluster.propose('e', [setClass('orders')]);
    expect(minority.result).toMatchObject({error: {kind: 'unavailable'}});
    const majority = await cluster.propose('a', [setClass('orders')]);
    expect(majority.handover).toEqual({acknowledged: 3, listed: 5});
    await cluster.run(3);
    expect(revisions()).toEqual([1, 1, 1, 1, 1]);
  });
});

describe('an instance', () => {
  it('stops serving when it is cut off from both, and resumes', async () => {
    await started();
    cluster.cutTable('e');
    cluster.isolate('e');
    await cluster.propose('a', [setClass('orders')]);
    await cluster.run(11);
    expect(cluster.standing('e')).toBe('cutOff');
    expect(cluster.standing('a')).toBe('serving');
    cluster.groups.clear();
    await cluster.run(3);
    expect(cluster.standing('e')).toBe('serving');
    expect(cluster.revision('e')).toBe(1);
  });

  it('serves on through a long outage of the table with a majority of peers', async () => {
    await started();
    cluster.cutTable();
    for (let second = 0; second < 120; second++) {
      await cluster.run(1);
      expect(standings()).toEqual(Array(5).fill('serving'));
    }
    const report = await cluster.propose('a', [setClass('orders')]);
    expect(report.result).toMatchObject({error: {kind: 'unavailable'}});
  });

  it('serves on through an outage among 40 that meet rarely', async () => {
    const ids = Array.from({length: 40}, (_, index) => `n${index}`);
    cluster = new ControlCluster(ids, 1, {
      headReadSeconds: 3,
      membershipReadSeconds: 5,
      membershipReadBytesPerSecond: 400,
      peerExchangeSeconds: 2,
      confirmationBoundSeconds: 9,
    });
    await cluster.startAll();
    await cluster.run(10);
    cluster.cutTable();
    for (let second = 0; second < 30; second++) {
      await cluster.run(1);
      const stopped = ids.filter(id => cluster.standing(id) !== 'serving');
      expect(stopped).toEqual([]);
    }
  });

  it.each([
    {lost: ['d', 'e'], minority: 'cutOff', majority: 'serving'},
    {lost: ['c', 'd', 'e'], minority: 'cutOff', majority: 'cutOff'},
  ])('without table and with $lost alone', async row => {
    await started();
    row.lost.forEach(id => cluster.isolate(id));
    cluster.cutTable();
    await cluster.run(60);
    expect(cluster.standing('e')).toBe(row.minority);
    expect(cluster.standing('a')).toBe(row.majority);
  });

  it('starts during an outage of the table once a majority confirms', async () => {
    await started();
    await cluster.propose('a', [setClass('orders')]);
    await cluster.run(2);
    cluster.cutTable();
    await cluster.run(20);
    cluster.start('e');
    expect(cluster.standing('e')).toBe('starting');
    await cluster.run(10);
    expect(cluster.standing('e')).toBe('serving');
    expect(cluster.revision('e')).toBe(1);
  });

  it('stays starting when neither table nor peers answer', async () => {
    cluster = new ControlCluster(FIVE);
    cluster.cutTable();
    cluster.start('a');
    await cluster.run(60);
    expect(cluster.standing('a')).toBe('starting');
  });

  it('that wakes from a long pause does not serve before it has read', async () => {
    await started();
    cluster.clock.pause(60_000);
    expect(standings()).toEqual(Array(5).fill('cutOff'));
    await cluster.run(1);
    expect(standings()).toEqual(Array(5).fill('serving'));
  });

  it('keeps the last list when the list can not be read', async () => {
    await started();
    cluster.platform.addFault({kind: 'down'}, {part: 'membership'});
    cluster.platform.members = [];
    await cluster.run(30);
    expect(cluster.core('a').view().instances).toHaveLength(5);
  });

  it('takes a list that lacks many only when nobody hears of them any more', async () => {
    await started();
    const [a] = cluster.platform.members;
    cluster.platform.members = a === undefined ? [] : [a];
    await cluster.run(70);
    expect(cluster.core('a').view().instances).toHaveLength(5);
    FIVE.slice(1).forEach(id => cluster.core(id).dispose());
    FIVE.slice(1).forEach(id => cluster.isolate(id));
    await cluster.run(90);
    expect(cluster.core('a').view().instances).toHaveLength(1);
  });

  it('takes a list that lacks one at once', async () => {
    await started();
    cluster.platform.members = cluster.platform.members.slice(1);
    await cluster.run(3);
    const counts = FIVE.map(id => cluster.core(id).view().instances.length);
    expect(counts).toEqual([4, 4, 4, 4, 4]);
  });

  it('that leaves is not ready elsewhere at once', async () => {
    await started();
    FIVE.forEach(id =>
      cluster.core(id).announce({incarnation: `${id}-1`, leaving: false}),
    );
    await cluster.run(1);
    const readyAt = (at: string, id: string) =>
      cluster
        .core(at)
        .view()
        .instances.find(instance => instance.member.id === id)?.ready;
    expect(readyAt('a', 'e')).toBe(true);
    void cluster.core('e').leave();
    await cluster.run(0.1);
    expect(readyAt('a', 'e')).toBe(false);
    expect(cluster.standing('e')).toBe('leaving');
  });
});
