import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

import {listen} from './fleet.js';

/** A replica of a plain service; `answer` decides what it does with a request that it runs. */
export class PlainReplica {
  constructor(fleet, record, id, answer) {
    this.fleet = fleet;
    this.record = record;
    this.id = id;
    this.answer = answer;
    /** Ids of the requests that it ran. */
    this.runs = [];
    /** Ids of the requests that it works on, where `answer` keeps them. */
    this.working = new Set();
    /** A silent replica reads on, and answers when it goes on. */
    this.silence = Promise.resolve();
    this.server = createServer((request, response) => {
      void this.receive(request, response);
    });
    this.server.keepAliveTimeout = 5_000;
  }

  async start(host) {
    this.address = await listen(this.server, host);
    this.born = Date.now();
    this.write({});
  }

  /** Writes its row, with some fields changed; a field that is undefined is left out. */
  write(fields) {
    this.fleet.store.put('servers', this.id, {
      Service: 'dispatch-app',
      Addr: this.address,
      Zone: 'perth-north',
      Version: 'v1',
      Slots: 6,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 1,
      born: this.born,
      ...fields,
    });
  }

  async receive(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    await this.silence;
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'replica-id': this.id}).end();
      return;
    }
    if (request.url === '/healthz') {
      response.writeHead(200, {'replica-id': this.id}).end();
      return;
    }
    const id = request.headers['request-id'];
    if (id === undefined) {
      // Only replicas of models have a report.
      response.writeHead(404).end();
      return;
    }
    this.record.add(`${this.id} runs ${id}`);
    this.runs.push(id);
    this.answer(this, request, response, Buffer.concat(chunks));
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
