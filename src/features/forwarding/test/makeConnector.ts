import {FakeClock} from '../../../../test/support/fakeClock.js';
import {FakeEventLoop} from '../../../../test/support/fakeEventLoop.js';
import {Dialer} from '../../../infrastructure/http/node/dialer.js';
import {DirectDialer} from '../../../infrastructure/http/node/directDialer.js';
import {HttpUpstreamConnector} from '../node/httpUpstreamConnector.js';

/** Makes a connector whose event loop is on time unless another one is given. */
export function makeConnector(
  dialer: Dialer = new DirectDialer(),
  clock = new FakeClock(),
  eventLoop = new FakeEventLoop(clock),
): HttpUpstreamConnector {
  return new HttpUpstreamConnector(dialer, clock, eventLoop);
}
