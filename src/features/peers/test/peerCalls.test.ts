import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {neverCancelled} from '../../../base/common/cancellation.js';
import {SystemClock} from '../../../base/node/systemClock.js';
import {
  createRpcHandler,
  mergeRpcRouters,
} from '../../../infrastructure/rpc/node/rpc.js';
import {ConfigurationReplica} from '../../configuration/common/configurationReplica.js';
import {
  EntryAnnouncement,
  SystemView,
} from '../../membership/common/systemView.js';
import {ViewPublisher} from '../../membership/common/viewPublisher.js';
import {ControlViewSource} from '../../membership/node/controlViewSource.js';
import {
  createViewRouter,
  ViewWatcher,
} from '../../membership/node/viewRouter.js';
import {LocalState} from '../common/localState.js';
import {PeerResponder} from '../common/peerResponder.js';
import {createPeerRouter} from '../node/peerRouter.js';
import {RpcPeerConnection} from '../node/rpcPeerConnection.js';

const KEY = 'peer-key';
const record = {id: 'b', incarnation: 'b1', ready: true, leaving: false};
const request = {record, revision: 0, members: ''};

class Provider {
  readonly publisher = new ViewPublisher();
  readonly announcements: EntryAnnouncement[] = [];

  view(): SystemView {
    return this.publisher.current;
  }

  announce(announcement: EntryAnnouncement): void {
    this.announcements.push(announcement);
  }

  recordEntryContact(): void {}
}

const clock = new FakeClock();
const replica = new ConfigurationReplica();
const state = new LocalState('a', replica, clock, 10_000, 4_000);
const provider = new Provider();
let server: Server;
let address: string;

beforeAll(async () => {
  const watcher = new ViewWatcher(provider, 'source');
  const router = mergeRpcRouters(
    createPeerRouter(new PeerResponder(state)),
    createViewRouter(provider, watcher),
  );
  server = createServer(createRpcHandler(router, KEY));
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterAll(() => {
  server.close();
  server.closeAllConnections();
});

describe('calls between control programs', () => {
  it('transfer revisions and records', async () => {
    const connection = new RpcPeerConnection(KEY);
    const revision = {
      revision: 1,
      operations: [{kind: 'removeModel' as const, name: 'm'}],
      operator: 'ana',
      nonce: 'n',
      committedAtWallMilliseconds: 0,
    };
    const noticeResponse = await connection.notify(
      address,
      {record, revision: 1, revisions: [revision]},
      neverCancelled,
    );
    expect(noticeResponse).toEqual({ok: true, value: {revision: 1}});
    const response = await connection.exchange(
      address,
      request,
      neverCancelled,
    );
    expect(response).toMatchObject({
      value: {revision: 1, revisions: [revision]},
    });
    const snapshot = await connection.snapshot(address, neverCancelled);
    expect(snapshot).toMatchObject({value: {configuration: {revision: 1}}});
    connection.dispose();
  });

  it.each([
    {name: 'another key', key: 'wrong', request},
    {
      name: 'a negative revision',
      key: KEY,
      request: {...request, revision: -1},
    },
  ])('are refused with $name', async ({key, request}) => {
    const connection = new RpcPeerConnection(key);
    const response = await connection.exchange(
      address,
      request,
      neverCancelled,
    );
    expect(response.ok).toBe(false);
    connection.dispose();
  });

  it('send changed views to the entry program and its announcement to the control program', async () => {
    const announcement = {incarnation: 'e1', leaving: false};
    const source = new ControlViewSource(
      address,
      KEY,
      new SystemClock(),
      announcement,
    );
    const serving = new Promise<SystemView>(resolve => {
      source.onDidChange(view => {
        if (view.standing.kind === 'serving') {
          resolve(view);
        }
      });
    });
    const first = new Promise<SystemView>(resolve => {
      source.onDidChange(resolve);
    });
    source.start();
    expect((await first).standing.kind).toBe('starting');
    provider.publisher.publish({
      ...provider.publisher.current,
      standing: {kind: 'serving'},
      configuration: replica.current,
    });
    expect((await serving).configuration.revision).toBe(1);
    expect(provider.announcements).toEqual([announcement]);
    source.dispose();
  });
});
