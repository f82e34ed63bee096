import {spawn} from 'node:child_process';
import {mkdtempSync, openSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';

import {Store} from './store.js';

/** The project's routers as separate processes, with a stand-in store, on loopback addresses. */

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const READY_MILLISECONDS = 30_000;

/** Host and key of all requests. */
export const HOST = 'orders.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';

export function sleep(milliseconds) {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds);
  });
}

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Lines of `record.txt`, with milliseconds since the start. */
export class Record {
  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.lines = [];
  }

  add(text) {
    const at = performance.now().toFixed(0).padStart(7);
    this.lines.push(`${at} ${text}`);
  }

  save() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** Listens on a free port of a loopback address. */
export function listen(server, host) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve(`${host}:${server.address().port}`));
  });
}

async function freeAddress(host) {
  const server = createServer();
  const address = await listen(server, host);
  await new Promise(resolve => {
    server.close(resolve);
  });
  return address;
}

/** Bounds as the sheets of the small deployments state them. */
const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  ContactMs: 3000,
  AckMs: 4000,
  CatchUpS: 4,
  DrainMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigMs: 2000,
  RollbackSlackMs: 250,
  OuterMs: 5000,
  StrictRevoke: true,
  RevokeMs: 5000,
  RetryRatio: 0.2,
  BudgetWindowS: 10,
  RetrySlack: 198,
  RecoverS: 12,
  PassMs: 120,
  RetryAfterS: 0,
  stall_ms: 3000,
  EnforceFence: true,
  ttl_max_s: 5,
};

/** The manifest of a small deployment; `fields` replaces its top-level fields. */
export function manifest(version, fields = {}) {
  const route = {Host: HOST, Attempts: 2, Priority: 1, Public: false};
  return {
    Version: version,
    Routes: [
      {
        ...route,
        Name: 'quote',
        Prefix: '/quote/',
        Kind: 'stream',
        Service: 'batch-llm',
        TimeoutMs: 20_000,
        LatencyTargetMs: 500,
        GapTargetMs: 200,
        Sticky: true,
        Resumable: true,
      },
      {
        ...route,
        Name: 'book',
        Prefix: '/book/',
        Kind: 'unsafe',
        Service: 'dispatch-app',
        TimeoutMs: 2_500,
        LatencyTargetMs: 193,
      },
      {
        ...route,
        Name: 'status',
        Prefix: '/status/',
        Kind: 'safe',
        Service: 'dispatch-app',
        TimeoutMs: 2_500,
        LatencyTargetMs: 193,
      },
    ],
    Services: [
      {
        Name: 'batch-llm',
        HealthPath: '/healthz',
        MaxConns: 1068,
        Engine: {
          Slots: 134,
          KvCapacity: 69_791,
          KvTokenBytes: 610_388,
          LinkMbps: 480_000,
          Stride: 2,
          Models: [{Name: 'daka510000', pace: 1, LoadS: 14, WarmS: 1}],
          step_ms: 0.85,
          read_per_s: 272_000,
          chunk: 512,
          report_lag_ms: 200,
          delays: [{From: 'perth-north', To: 'perth-south', delay_ms: 0.62}],
          usual: {prompt: 772, answer: 145},
          Layers: 80,
          LayerMb: 1750,
          ActBytes: 30_519,
          PipeMbps: 9300,
          Kinds: [{Name: 'a100s', Mb: 36_000, pace: 3.1, ReadX: 3.2}],
        },
      },
      {Name: 'dispatch-app', HealthPath: '/healthz', MaxConns: 100},
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 'hule930', ApiKeys: [KEY], Priority: 1}],
    ...fields,
  };
}

/** A store and routers; `stop` ends all of them. */
export class Fleet {
  constructor(record) {
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store();
    this.routers = [];
    // The port for metrics is the same on all machines, so each has an address of its own.
    this.net = `127.${64 + (process.pid % 128)}.${1 + (process.pid % 250)}`;
    process.once('exit', () => this.kill());
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.once(signal, () => process.exit(2));
    }
  }

  async start(count, fields = {}) {
    this.storeAddress = await listen(this.store.server, `${this.net}.200`);
    this.store.put('op', 'config', manifest(7, fields));
    for (let index = 0; index < count; index++) {
      await this.startRouter(index);
    }
    await Promise.all(this.routers.map(router => this.untilReady(router)));
  }

  async startRouter(index) {
    const zone = ['perth-north', 'perth-south'][index % 2];
    const ip = `${this.net}.${1 + index}`;
    const peers = Number((await freeAddress(ip)).split(':')[1]);
    const settings = {
      Node: `front-${zone}-${1 + index}`,
      Role: 'router',
      Class: 'front',
      Serves: ['front', 'directory'],
      Ip: ip,
      Zone: zone,
      Region: 'perth',
      PortRange: [peers, peers],
      Listen: {
        Front: await freeAddress(ip),
        Ready: await freeAddress(ip),
        Directory: await freeAddress(ip),
      },
      Limits: {RamMb: 350, MaxFds: 4200, Cores: 1},
      Bounds: BOUNDS,
      Platform: {Addr: this.storeAddress, form: 'table'},
    };
    const router = {settings, front: settings.Listen.Front, ends: 0};
    router.file = join(this.folder, `${settings.Node}.json`);
    router.log = join(this.folder, `${settings.Node}.log`);
    writeFileSync(router.file, JSON.stringify(settings));
    this.run(router);
    this.routers.push(router);
    return router;
  }

  /** Starts a router's process with the command of the deploy file. */
  run(router) {
    const output = openSync(router.log, 'a');
    router.process = spawn(
      'node',
      ['--max-old-space-size=200', 'target/redwing-router.cjs'],
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: 'C',
          REDWINGROAD_BOOT: router.file,
        },
        stdio: ['ignore', output, output],
      },
    );
    router.exited = new Promise(resolve => {
      router.process.once('exit', (code, signal) => {
        router.ends++;
        router.hasExited = true;
        this.record.add(
          `${router.settings.Node} ended: code ${code} signal ${signal}`,
        );
        resolve();
      });
    });
  }

  async untilReady(router) {
    const end = performance.now() + READY_MILLISECONDS;
    while (!(await isReady(router))) {
      if (performance.now() > end) {
        throw new Error(`${router.settings.Node} is not ready`);
      }
      await sleep(50);
    }
  }

  /** Kills all routers that still run. */
  kill() {
    for (const router of this.routers) {
      if (!router.hasExited) {
        router.process.kill('SIGKILL');
      }
    }
  }

  async stop() {
    for (const router of this.routers) {
      if (!router.hasExited) {
        router.process.kill('SIGKILL');
        await router.exited;
      }
    }
    this.store.server.close();
    this.store.server.closeAllConnections();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

export function isReady(router) {
  return new Promise(resolve => {
    const request = get(
      `http://${router.settings.Listen.Ready}/readyz`,
      {agent: false, timeout: 1000},
      response => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
  });
}

/** Runs a case: exit code 0 if the rule held, 3 if it was broken, 2 if the case could not run. Node itself may end with 1. */
const EXIT_CODES = [0, 3, 2];

export async function runCase(folder, body) {
  const record = new Record(folder);
  process.on('uncaughtException', error => {
    record.add(`could not run: ${error.stack}`);
    record.save();
    process.exit(2);
  });
  const fleet = new Fleet(record);
  const limit = setTimeout(() => process.exit(2), 115_000);
  let code = 2;
  try {
    record.add(`disruption: ${hasTrouble ? 'on' : 'off (TROUBLE=0)'}`);
    code = (await body(fleet, record)) ? 1 : 0;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
  } finally {
    await fleet.stop();
    record.add(['rule held', 'RULE BROKEN', 'could not run'][code]);
    record.save();
    clearTimeout(limit);
  }
  console.log(record.lines.at(-1).trim());
  process.exit(EXIT_CODES[code]);
}
