import {readdirSync, readFileSync} from 'node:fs';

/** Resource usage of a process, from the counters under /proc on Linux. */

/** Counters since the start of a process, and its current memory. */
export interface ProcessUsage {
  /** Time of the reading, in monotonic milliseconds. */
  readonly at: number;
  /** CPU time of all threads. */
  readonly cpuMilliseconds: number;
  readonly residentBytes: number;
  /** Bytes read from sockets and files. */
  readonly readBytes: number;
  /** Bytes written to sockets and files, log lines included. */
  readonly writtenBytes: number;
}

/** Usage of a process between two readings. */
export interface UsageRates {
  readonly seconds: number;
  /** Share of one core. */
  readonly cpuShare: number;
  readonly residentBytes: number;
  readonly readBytesPerSecond: number;
  readonly writtenBytesPerSecond: number;
}

const KIBIBYTE = 1024;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Reads the counters of a running process. @throws when the process has ended. */
export function readProcessUsage(pid: number): ProcessUsage {
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    at: performance.now(),
    cpuMilliseconds: readCpuMilliseconds(pid),
    residentBytes: parseNumberAfter(status, 'VmRSS:') * KIBIBYTE,
    readBytes: parseNumberAfter(io, 'rchar:'),
    writtenBytes: parseNumberAfter(io, 'wchar:'),
  };
}

export function computeUsageRates(
  from: ProcessUsage,
  to: ProcessUsage,
): UsageRates {
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

/** Reads `schedstat`, whose nanoseconds are finer than the clock ticks of `stat`. */
function readCpuMilliseconds(pid: number): number {
  let nanoseconds = 0;
  for (const thread of readdirSync(`/proc/${pid}/task`)) {
    const path = `/proc/${pid}/task/${thread}/schedstat`;
    nanoseconds += Number(readFileSync(path, 'utf8').split(' ', 1)[0]);
  }
  return nanoseconds / NANOSECONDS_PER_MILLISECOND;
}

function parseNumberAfter(text: string, label: string): number {
  const line = text.split('\n').find(candidate => candidate.startsWith(label));
  return Number.parseInt(line?.slice(label.length) ?? 'NaN', 10);
}
