import {buildConnector} from 'undici';

import {Event} from '../../../base/common/event.js';

/** Opens the connections of HTTP clients, on a way that may change. */
export abstract class Dialer {
  /** Opens a connection for undici. */
  abstract readonly connect: buildConnector.connector;

  /**
   * Fires when connections to an address `IP:port` take another way than before, with undefined for all addresses. Open
   * ones may be useless.
   */
  abstract readonly onDidChangeWay: Event<string | undefined>;
}
