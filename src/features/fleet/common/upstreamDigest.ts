import {rendezvousScore} from '../../../base/common/rendezvous.js';
import {Upstream} from './upstream.js';

/** A list of upstreams as it was read at one moment, to be compared and passed on. */

/** What decisions depend on; two upstreams with the same text need not be told apart. */
export function describeUpstream(upstream: Upstream): string {
  const {layers} = upstream;
  const range = layers === undefined ? '-' : `${layers.from}-${layers.to}`;
  const state = upstream.isLeaving ? 'leaving' : 'ready';
  const warmth = upstream.coldMilliseconds > 0 ? ' cold' : '';
  const models = upstream.models.join(',');
  return `${state} ${range} ${models} ${upstream.address} ${upstream.slots}${warmth}`;
}

/** A short text that is the same for lists of the same upstreams in the same state: 64 bits of hash. */
export function digestOf(list: readonly Upstream[]): string {
  const lines = list.map(
    upstream =>
      `${upstream.id} ${upstream.service} ${describeUpstream(upstream)}`,
  );
  const text = lines.sort().join('\n');
  const parts = ['first', 'second'].map(key => rendezvousScore(key, text));
  return parts.map(part => part.toString(36)).join('-');
}
