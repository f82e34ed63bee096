import {readdirSync, readFileSync} from 'node:fs';

/** What a process has used, as Linux counts it under /proc. */

/** Counts since the start of a process, and its memory now. */
export interface ProcessUse {
  /** Monotonic milliseconds of the reading. */
  readonly at: number;
  /** Milliseconds on a core, over all threads. */
  readonly cpuMilliseconds: number;
  readonly residentBytes: number;
  /** Bytes read from sockets and files. */
  readonly readBytes: number;
  /** Bytes written to sockets and files, log lines included. */
  readonly writtenBytes: number;
}

/** What a process used between two readings, per second. */
export interface UseRates {
  readonly seconds: number;
  /** Share of one core. */
  readonly cpuShare: number;
  readonly residentBytes: number;
  readonly readBytesPerSecond: number;
  readonly writtenBytesPerSecond: number;
}

const KIBIBYTE = 1024;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Reads what a running process has used. */
export function readUse(pid: number): ProcessUse {
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    at: performance.now(),
    cpuMilliseconds: readCpu(pid),
    residentBytes: numberAfter(status, 'VmRSS:') * KIBIBYTE,
    readBytes: numberAfter(io, 'rchar:'),
    writtenBytes: numberAfter(io, 'wchar:'),
  };
}

/** Rates between two readings. */
export function ratesBetween(from: ProcessUse, to: ProcessUse): UseRates {
  const milliseconds = to.at - from.at;
  const seconds = milliseconds / 1000;
  return {
    seconds,
    cpuShare: (to.cpuMilliseconds - from.cpuMilliseconds) / milliseconds,
    residentBytes: to.residentBytes,
    readBytesPerSecond: (to.readBytes - from.readBytes) / seconds,
    writtenBytesPerSecond: (to.writtenBytes - from.writtenBytes) / seconds,
  };
}

/** The scheduler's count is finer than the clock ticks of `stat`. */
function readCpu(pid: number): number {
  let nanoseconds = 0;
  for (const thread of readdirSync(`/proc/${pid}/task`)) {
    const path = `/proc/${pid}/task/${thread}/schedstat`;
    nanoseconds += Number(readFileSync(path, 'utf8').split(' ', 1)[0]);
  }
  return nanoseconds / NANOSECONDS_PER_MILLISECOND;
}

function numberAfter(text: string, label: string): number {
  const line = text.split('\n').find(one => one.startsWith(label));
  return Number.parseInt(line?.slice(label.length) ?? 'NaN', 10);
}
