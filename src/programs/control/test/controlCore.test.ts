import {afterEach, describe, expect, it} from 'vitest';

import {ControlCluster, setClass} from './controlCluster.js';

const INSTANCE_IDS = ['a', 'b', 'c', 'd', 'e'];

let cluster: ControlCluster;

async function startCluster(): Promise<ControlCluster> {
  cluster = new ControlCluster(INSTANCE_IDS);
  await cluster.startAll();
  return cluster;
}

function standings(): readonly string[] {
  return INSTANCE_IDS.map(id => cluster.standing(id));
}

function revisions(): readonly number[] {
  return INSTANCE_IDS.map(id => cluster.revision(id));
}

afterEach(() => cluster.dispose());

describe('a configuration change', () => {
  it('is applied on all instances immediately', async () => {
    await startCluster();
    const report = await cluster.propose('a', [setClass('orders')]);
    expect(report.result.ok).toBe(true);
    expect(report.handover).toEqual({acknowledged: 5, listed: 5});
    await cluster.run(1);
    expect(revisions()).toEqual([1, 1, 1, 1, 1]);
    expect(standings()).toEqual(Array(5).fill('serving'));
  });

  it('reaches an instance that cannot access the table', async () => {
    await startCluster();
    cluster.disconnectTable('e');
    await cluster.run(30);
    expect(cluster.standing('e')).toBe('serving');
    await cluster.propose('a', [setClass('orders')]);
    await cluster.run(1);
    expect(cluster.revision('e')).toBe(1);
  });

  it('reaches an instance that cannot reach its peers', async () => {
    await startCluster();
    cluster.isolate('e');
    await cluster.propose('a', [setClass('orders')]);
    await cluster.run(3);
    expect(cluster.revision('e')).toBe(1);
    await cluster.run(30);
    expect(cluster.standing('e')).toBe('serving');
  });
});

describe('a proposal', () => {
  it('is refused if a majority of instances cannot be notified', async () => {
    await startCluster();
    ['b', 'c', 'd', 'e'].forEach(id => cluster.disconnectTable(id));
    await cluster.run(20);
    cluster.isolate('a');
    await cluster.run(40);
    expect(standings()).toEqual(Array(5).fill('serving'));
    const report = await cluster.propose('a', [setClass('orders')]);
    expect(report.result).toMatchObject({error: {kind: 'unavailable'}});
    await cluster.run(5);
    expect(revisions()).toEqual([0, 0, 0, 0, 0]);
  });

  it('changes nothing if made by a minority just before the majority loses the table', async () => {
    await startCluster();
    ['c', 'd', 'e'].forEach(id => cluster.groups.set(id, 1));
    const report = await cluster.propose('a', [setClass('orders')]);
    expect(report.result).toMatchObject({error: {kind: 'unavailable'}});
    ['a', 'c', 'd', 'e'].forEach(id => cluster.disconnectTable(id));
    await cluster.run(40);
    expect(revisions()).toEqual([0, 0, 0, 0, 0]);
  });

  it('is refused by an instance that has not read the membership list yet', async () => {
    cluster = new ControlCluster(INSTANCE_IDS);
    cluster.platform.addFault({kind: 'down'}, {part: 'membership'});
    cluster.start('a');
    await cluster.run(5);
    const report = await cluster.propose('a', [setClass('orders')]);
    expect(report.result).toMatchObject({error: {kind: 'unavailable'}});
  });

  it('is refused by the minority and accepted by the majority of a network partition', async () => {
    await startCluster();
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
  it('stops serving without access to the table and the peers, and resumes with access to the peers', async () => {
    await startCluster();
    cluster.disconnectTable('e');
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

  it('keeps serving during a long table outage while it reaches a majority of peers', async () => {
    await startCluster();
    cluster.disconnectTable();
    for (let second = 0; second < 120; second++) {
      await cluster.run(1);
      expect(standings()).toEqual(Array(5).fill('serving'));
    }
    const report = await cluster.propose('a', [setClass('orders')]);
    expect(report.result).toMatchObject({error: {kind: 'unavailable'}});
  });

  it('keeps serving during a table outage in a cluster of 40 with infrequent exchanges', async () => {
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
    cluster.disconnectTable();
    for (let second = 0; second < 30; second++) {
      await cluster.run(1);
      const stopped = ids.filter(id => cluster.standing(id) !== 'serving');
      expect(stopped).toEqual([]);
    }
  });

  it.each([
    {lost: ['d', 'e'], minority: 'cutOff', majority: 'serving'},
    {lost: ['c', 'd', 'e'], minority: 'cutOff', majority: 'cutOff'},
  ])(
    'without the table and with $lost isolated, is $minority in the minority and $majority in the majority',
    async row => {
      await startCluster();
      row.lost.forEach(id => cluster.isolate(id));
      cluster.disconnectTable();
      await cluster.run(60);
      expect(cluster.standing('e')).toBe(row.minority);
      expect(cluster.standing('a')).toBe(row.majority);
    },
  );

  it('starts during a table outage once a majority confirms the configuration', async () => {
    await startCluster();
    await cluster.propose('a', [setClass('orders')]);
    await cluster.run(2);
    cluster.disconnectTable();
    await cluster.run(20);
    cluster.start('e');
    expect(cluster.standing('e')).toBe('starting');
    await cluster.run(10);
    expect(cluster.standing('e')).toBe('serving');
    expect(cluster.revision('e')).toBe(1);
  });

  it('remains in state starting if neither the table nor the peers respond', async () => {
    cluster = new ControlCluster(INSTANCE_IDS);
    cluster.disconnectTable();
    cluster.start('a');
    await cluster.run(60);
    expect(cluster.standing('a')).toBe('starting');
  });

  it('does not serve after a long suspension until it has read the table', async () => {
    await startCluster();
    cluster.clock.pause(60_000);
    expect(standings()).toEqual(Array(5).fill('cutOff'));
    await cluster.run(1);
    expect(standings()).toEqual(Array(5).fill('serving'));
  });

  it('keeps the last membership list if the list cannot be read', async () => {
    await startCluster();
    cluster.platform.addFault({kind: 'down'}, {part: 'membership'});
    cluster.platform.members = [];
    await cluster.run(30);
    expect(cluster.core('a').view().instances).toHaveLength(5);
  });

  it('applies a list that lacks many known members only when no instance has recent status of them', async () => {
    await startCluster();
    const [a] = cluster.platform.members;
    cluster.platform.members = a === undefined ? [] : [a];
    await cluster.run(70);
    expect(cluster.core('a').view().instances).toHaveLength(5);
    INSTANCE_IDS.slice(1).forEach(id => cluster.core(id).dispose());
    INSTANCE_IDS.slice(1).forEach(id => cluster.isolate(id));
    await cluster.run(90);
    expect(cluster.core('a').view().instances).toHaveLength(1);
  });

  it('immediately applies a list that lacks one known member', async () => {
    await startCluster();
    cluster.platform.members = cluster.platform.members.slice(1);
    await cluster.run(3);
    const counts = INSTANCE_IDS.map(
      id => cluster.core(id).view().instances.length,
    );
    expect(counts).toEqual([4, 4, 4, 4, 4]);
  });

  it('is immediately shown as not ready by others when it leaves', async () => {
    await startCluster();
    INSTANCE_IDS.forEach(id =>
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
