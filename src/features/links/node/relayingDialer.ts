import {Socket} from 'node:net';

import {buildConnector} from 'undici';

import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Dialer} from '../../../infrastructure/http/node/dialer.js';
import {DirectDialer} from '../../../infrastructure/http/node/directDialer.js';
import {UpstreamLinks} from '../common/upstreamLinks.js';
import {RelayClient} from './relayClient.js';

/** Connects to upstreams directly, or through a peer while the direct link is lost. */
export class RelayingDialer extends DisposableOwner implements Dialer {
  private readonly directDialer = new DirectDialer();
  private readonly wayChanged = this.register(
    new Emitter<string | undefined>(),
  );

  readonly onDidChangeWay = this.wayChanged.event;

  constructor(
    private readonly links: UpstreamLinks,
    private readonly relayClient: RelayClient,
  ) {
    super();
    this.register(
      links.onDidChange(({address}) => this.wayChanged.fire(address)),
    );
  }

  readonly connect: buildConnector.connector = (options, callback) => {
    const address = `${options.hostname}:${options.port}`;
    if (!this.links.isRelayed(address)) {
      this.directDialer.connect(options, callback);
      return;
    }
    void this.relayClient
      .open(address)
      .then(socket => report(socket, address, callback));
  };
}

function report(
  socket: Socket | undefined,
  address: string,
  callback: buildConnector.Callback,
): void {
  if (socket === undefined) {
    callback(new Error(`no peer connected to ${address}`), null);
  } else {
    callback(null, socket);
  }
}
