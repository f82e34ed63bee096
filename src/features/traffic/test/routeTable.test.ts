import {describe, expect, it} from 'vitest';

import {chooseTarget} from '../common/chooseTarget.js';
import {RouteTable} from '../common/routeTable.js';
import {makeConfiguration, makeRoute} from './trafficConfigurations.js';

const table = new RouteTable(
  makeConfiguration({
    routes: [
      makeRoute({name: 'short', pathPrefix: '/a/'}),
      makeRoute({name: 'long', pathPrefix: '/a/b/'}),
      makeRoute({name: 'other', host: 'Other.example', pathPrefix: '/'}),
    ],
  }),
);

describe('the route of a request', () => {
  it.each([
    ['host.example', '/a/x', 'short'],
    ['host.example', '/a/', 'short'],
    ['host.example', '/a/b/x?q=/a/', 'long'],
    ['host.example', '/a/b', 'short'],
    ['host.example', '/a/bc/x', 'short'],
    ['HOST.example:8080', '/a/b/', 'long'],
    ['host.example', '/a', undefined],
    ['host.example', '/b/', undefined],
    ['other.example', '/anything', 'other'],
    ['unknown.example', '/a/', undefined],
    ['', '/a/', undefined],
    ['host.example', '*', undefined],
  ])('for host %s and target %s is %s', (host, target, name) => {
    expect(table.findRoute(host, target)?.name).toBe(name);
  });
});

describe('the account of a key', () => {
  it.each([
    ['key', 'account'],
    ['Key', undefined],
    ['', undefined],
  ])('%s is account %s', (key, name) => {
    expect(table.findAccount(key)?.name).toBe(name);
  });
});

describe('the service of a split route', () => {
  const route = makeRoute({
    targets: [
      {service: 'most', weight: 90},
      {service: 'few', weight: 10},
      {service: 'none', weight: 0},
    ],
  });
  it.each([
    [0, 'most'],
    [0.89, 'most'],
    [0.9, 'few'],
    [0.9999, 'few'],
  ])('for draw %d is %s', (draw, service) => {
    expect(chooseTarget(route, draw)).toBe(service);
  });

  it('is undefined for a route without targets', () => {
    expect(chooseTarget(makeRoute({targets: []}), 0)).toBeUndefined();
  });
});
