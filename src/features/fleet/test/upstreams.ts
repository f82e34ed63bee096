import {Upstream} from '../common/upstream.js';

/** Creates a ready upstream of service `s`, with defaults for omitted fields. */
export function makeUpstream(fields: Partial<Upstream> = {}): Upstream {
  return {
    id: 'upstream',
    name: fields.id ?? 'upstream',
    startedAt: undefined,
    service: 's',
    address: '10.0.0.1:8080',
    dataCentre: 'north',
    slots: 4,
    isLeaving: false,
    coldMilliseconds: 0,
    acceleratorKind: undefined,
    layers: undefined,
    models: [],
    ...fields,
  };
}
