import {buildConnector} from 'undici';
import {expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {FakeEventLoop} from '../../../../test/support/fakeEventLoop.js';
import {Emitter} from '../../../base/common/event.js';
import {Dialer} from '../../../infrastructure/http/node/dialer.js';
import {LateDialer} from '../node/lateDialer.js';

/** Connections that are opened while the event loop is late. */

const LATE_MILLISECONDS = 700;

/** Nothing listens at this port of the loopback interface. */
const CLOSED_PORT = '1';

class UndiciDialer extends Dialer {
  override readonly connect = buildConnector({});
  override readonly onDidChangeWay = new Emitter<string | undefined>().event;
}

// Guards against an attempt that never ends, since undici reports a refusal without a second argument.
it('tells of a refused connection while the event loop is late', async () => {
  const clock = new FakeClock();
  const eventLoop = new FakeEventLoop(clock);
  eventLoop.latenessMilliseconds = LATE_MILLISECONDS;
  const dialer = new LateDialer(new UndiciDialer(), clock, eventLoop);
  const error = await new Promise<Error | null>(resolve => {
    const options = {
      hostname: '127.0.0.1',
      port: CLOSED_PORT,
      protocol: 'http:',
    };
    dialer.connect(options, (...result) => resolve(result[0]));
  });
  expect(error).toMatchObject({code: 'ECONNREFUSED'});
});
