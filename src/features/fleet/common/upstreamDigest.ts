import {rendezvousScore} from '../../../base/common/rendezvous.js';
import {Upstream} from './upstream.js';

/** Comparison of upstream lists by text and digest. */

/** The state of an upstream that decisions depend on, as a text for comparison and log lines. */
export function describeUpstream(upstream: Upstream): string {
  const {layers} = upstream;
  const range = layers === undefined ? '-' : `${layers.from}-${layers.to}`;
  const state = upstream.isLeaving ? 'leaving' : 'ready';
  const warmth = upstream.coldMilliseconds > 0 ? ' cold' : '';
  const models = upstream.models.join(',');
  return `${state} ${range} ${models} ${upstream.address} ${upstream.slots}${warmth}`;
}

/** A 64-bit hash that is equal for lists of the same upstreams in the same state, in any order. */
export function digestUpstreams(list: readonly Upstream[]): string {
  const lines = list.map(
    upstream =>
      `${upstream.id} ${upstream.service} ${describeUpstream(upstream)}`,
  );
  const text = lines.sort().join('\n');
  const parts = ['first', 'second'].map(key => rendezvousScore(key, text));
  return parts.map(part => part.toString(36)).join('-');
}
