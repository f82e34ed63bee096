import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearInterval, setInterval} from 'node:timers';

import {listen} from './fleet.js';

/** Replicas of a model whose layers are split over five accelerators in each zone; all layers are held at the start. */

const LAYERS = 80;
const PARTS = 5;
const EVENT_MILLISECONDS = 14;

/** Events of each answer. */
export const EVENTS = 73;

/** Text of a piece of a stream. */
export function piece(id, number) {
  return `id: ${number}\ndata: piece ${number} of ${id}\n\n`;
}

export class EngineGroup {
  /** @param write writes the pieces of a stream from a number on; see `writePieces` */
  constructor(fleet, record, write = writePieces) {
    this.fleet = fleet;
    this.record = record;
    this.write = write;
    /** Each run: id of the request, replica, first piece and path. */
    this.runs = [];
    this.servers = [];
  }

  async start(zones = ['perth-north', 'perth-south']) {
    let host = 100;
    for (const zone of zones) {
      for (let part = 0; part < PARTS; part++) {
        host++;
        await this.add(zone, part, `${this.fleet.net}.${host}`);
      }
    }
  }

  async add(zone, part, host) {
    const size = LAYERS / PARTS;
    const engine = {
      id: `i-${zone}-${part}`,
      layers: {From: part * size, To: (part + 1) * size, Version: 1},
      born: Date.now(),
      orders: 0,
    };
    const server = createServer((request, response) => {
      void this.receive(engine, request, response);
    });
    this.servers.push(server);
    engine.address = await listen(server, host);
    this.fleet.store.put('servers', engine.id, {
      Service: 'batch-llm',
      Addr: engine.address,
      Zone: zone,
      Version: 'v1',
      Slots: 134,
      State: 'ready',
      ColdLeftMs: 0,
      Kind: 'a100s',
      Layers: engine.layers,
      Models: [{Name: 'daka510000', Version: 1, Adapters: []}],
      Seq: 1,
      born: engine.born,
    });
  }

  async receive(engine, request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== engine.id) {
      sendJson(response, 421, {}, {'replica-id': engine.id});
    } else if (request.url === '/report') {
      sendJson(response, 200, {
        Seq: engine.orders,
        Busy: false,
        pace: 1,
        Layers: engine.layers,
        Queued: 0,
        Running: 0,
        Stalled: [],
        born: engine.born,
      });
    } else if (request.url === '/order') {
      this.order(
        engine,
        JSON.parse(Buffer.concat(chunks).toString()),
        response,
      );
    } else {
      this.stream(engine, request, response);
    }
  }

  order(engine, order, response) {
    this.record.add(`${engine.id} is ordered ${JSON.stringify(order)}`);
    const isHeld =
      order.Op === 'place' &&
      order.From === engine.layers.From &&
      order.To === engine.layers.To;
    // No order but one for what it holds fits the state of this stand-in.
    sendJson(response, isHeld ? 200 : order.Op === 'repath' ? 404 : 409, {});
  }

  stream(engine, request, response) {
    const id = request.headers['request-id'];
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    const path = request.headers['hop-count'];
    this.runs.push({id, engine: engine.id, first, path});
    this.record.add(`${engine.id} runs ${id} from piece ${first}`);
    const headers = {
      'content-type': 'text/event-stream',
      'request-id': id,
      'route-stamp': `${engine.id}.${id}`,
      'weight-versions': '1',
    };
    for (const [name, value] of Object.entries(headers)) {
      response.setHeader(name, value);
    }
    this.write({engine, id, first, response, group: this});
  }

  stop() {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}

/** Writes the pieces one by one. */
export function writePieces({id, first, response}) {
  let number = first;
  const timer = setInterval(() => {
    if (response.destroyed) {
      clearInterval(timer);
      return;
    }
    response.write(piece(id, number));
    if (number === EVENTS) {
      clearInterval(timer);
      response.end();
    }
    number++;
  }, EVENT_MILLISECONDS);
  response.on('close', () => clearInterval(timer));
}

function sendJson(response, status, body, headers = {}) {
  response.writeHead(status, {'content-type': 'application/json', ...headers});
  response.end(JSON.stringify(body));
}
