"""Registries of the adapters, one for each external interface."""

from ebonypick import registry

caller_adapters = registry.Registry('caller adapter')
backend_adapters = registry.Registry('backend adapter')
platform_adapters = registry.Registry('platform adapter')
hostlist_adapters = registry.Registry('host list adapter')
