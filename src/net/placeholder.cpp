namespace wagtailhitch::detail {
}
